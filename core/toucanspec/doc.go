// Package toucanspec describes the simulated replicas that toucantarget serves
// and the record of requests that it keeps for each.
package toucanspec
