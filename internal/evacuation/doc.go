// Package evacuation keeps the set of zones to whose workers the operator lets nothing be sent.
package evacuation
