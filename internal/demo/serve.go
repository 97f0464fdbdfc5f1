package demo

import (
	"context"
	"slices"

	"github.com/sirupsen/logrus"
)

// Serve starts a fleet, calls ready with the sorted base URLs of its entry hosts once every service answers,
// and stops the fleet when ctx ends. Errors say why the fleet did not start.
func Serve(ctx context.Context, user User, log *logrus.Logger, ready func(urls []string)) error {
	f, err := StartFleet(user, log, func(string, string) {}) // violations are logged
	if err != nil {
		return err
	}
	defer f.Stop()
	if _, err := f.Deploy(ctx); err != nil {
		if ctx.Err() != nil {
			return nil // stopped while it started
		}
		return err
	}
	urls := f.URLs()
	slices.Sort(urls)
	ready(urls)
	<-ctx.Done()
	return nil
}
