// Package integration holds the tests that start real processes.
package integration

import _ "toucanstair.example/core/toucanfault"
