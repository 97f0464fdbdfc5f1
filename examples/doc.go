// Package examples contains example settings and a release note for each of the two users, Kelaniya and Retablo.
package examples
