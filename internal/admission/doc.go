// Package admission decides which requests an entry host runs, queues and refuses.
package admission
