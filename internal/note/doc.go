// Package note holds release notes and the catalogue of work that they fold into.
package note
