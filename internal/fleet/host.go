package fleet

// HostKind is the kind of a host on the platform's host list.
type HostKind string

// Kinds of hosts.
const (
	KindEntryHost HostKind = "entry_host"
	KindWorker    HostKind = "worker"
)

// HostState is the state of a host on the platform's host list.
type HostState string

// States of hosts.
const (
	// StateLeaving means that the platform is about to take the host away.
	StateLeaving HostState = "leaving"
	StateLive    HostState = "live"
)

// Host is a record of the platform's host list.
type Host struct {
	// Address is the host:port of a worker's API, or of an entry host's API for callers.
	Address  string    `json:"address"`
	Capacity Resources `json:"capacity"`
	ID       string    `json:"id"`
	Kind     HostKind  `json:"kind"`
	// PeerAddress is the host:port of an entry host's API for other entry hosts.
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
