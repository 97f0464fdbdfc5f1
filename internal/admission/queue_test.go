package admission_test

import "time"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
