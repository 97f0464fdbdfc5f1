// Package fleet describes the hosts that the scheduler serves and accounts for their capacity.
package fleet
