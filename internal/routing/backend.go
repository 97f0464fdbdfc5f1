package routing

// Backend is one backend server as the caller of Route sees it at that moment.
type Backend struct {
	Address string
	// Epoch is the owner's epoch under which the slots were granted.
	Epoch int64
	// Free is the number of slots granted to this host and unspent.
	Free    int
	Leaving bool
	Worker  string
	Zone    string
}
