package host

import (
	"math/rand/v2"
	"time"
)

// jitter returns a random duration from half of d to d, so that hosts do not act at the same time.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d/2+1)
}
