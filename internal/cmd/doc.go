// Package cmd implements the command line of laburnumridge. Each command has a file of its own.
package cmd
