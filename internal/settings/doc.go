// Package settings reads and validates the TOML settings file of an entry host.
package settings
