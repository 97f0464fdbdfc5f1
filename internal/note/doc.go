// Package note parses and checks release notes, and applies them to the catalogue, the desired state of a region.
package note
