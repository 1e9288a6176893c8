// Package integration holds the tests that start real processes and inject
// faults between them.
package integration
