package routing

// Backend is the current state of one backend server, as passed to Route.
type Backend struct {
	Address string
	// Epoch is the owner's epoch under which the slots were granted.
	Epoch int64
	// Free is the number of slots granted to this host and not in use.
	Free    int
	Leaving bool
	// Worker is the id of the worker on which the server runs.
	Worker string
	Zone   string
}
