package fleet

// HostKind tells entry hosts and workers apart on the platform's host list.
type HostKind string

// Kinds of hosts.
const (
	KindEntryHost HostKind = "entry_host"
	KindWorker    HostKind = "worker"
)

// HostState is what the platform's host list says of a host.
type HostState string

// States of hosts.
const (
	StateLeaving HostState = "leaving"
	StateLive    HostState = "live"
)

// Host is one record of the platform's host list.
type Host struct {
	// Address is where a worker answers, or where an entry host answers callers, as host:port.
	Address  string    `json:"address"`
	Capacity Resources `json:"capacity"`
	ID       string    `json:"id"`
	Kind     HostKind  `json:"kind"`
	// PeerAddress is where an entry host answers other entry hosts, as host:port.
	PeerAddress string    `json:"peer_address,omitempty"`
	Rack        string    `json:"rack,omitempty"`
	State       HostState `json:"state"`
	Zone        string    `json:"zone"`
}

// IsLeaving reports whether the platform is about to take the host away.
func (h Host) IsLeaving() bool { return h.State == StateLeaving }

// WithState returns a copy of h in the given state.
func (h Host) WithState(s HostState) Host {
	h.State = s
	return h
}
