// Package kvstore speaks to the platform's key-value service and reads the host list kept there.
package kvstore
