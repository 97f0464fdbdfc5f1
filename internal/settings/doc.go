// Package settings reads and checks the TOML settings of an entry host.
package settings
