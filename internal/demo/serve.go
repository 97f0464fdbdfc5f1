package demo

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"
)

// Serve runs a fleet until ctx is cancelled. It calls ready with the sorted base URLs of the entry hosts once every
// service responds. It returns an error only if the fleet does not start.
func Serve(ctx context.Context, user User, log *logrus.Logger, ready func(urls []string)) error {
	f, err := StartFleet(user, log, func(string, string) {}) // entry hosts log violations
	if err != nil {
		return err
	}
	defer f.Stop()
	if _, err := f.Deploy(ctx); err != nil {
		if ctx.Err() != nil {
			return nil // cancelled during the start
		}
		return err
	}
	urls := f.URLs()
	slices.Sort(urls)
	ready(urls)
	<-ctx.Done()
	return nil
}
