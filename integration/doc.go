// Package integration holds the tests that start real processes and inject
// faults between them. TestPromiseNN... tests promise NN of docs/PROMISES.md. The
// environment variables TOUCAN_BIN and TOUCAN_SEED are described at newTestbed.
package integration
