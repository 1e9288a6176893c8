package toucantransport

import "time"

// SetSpliceWait sets how long a transport waits behind a body that may be broken.
func SetSpliceWait(t *Transport, d time.Duration) { t.spliceWait = d }
