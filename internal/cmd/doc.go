// Package cmd holds the commands of laburnumridge, one file a command.
package cmd
