// Package admission decides which requests an entry host runs, queues or refuses. Services share the host's
// slots, and teams share the slots of a service, by weighted fair sharing.
package admission
