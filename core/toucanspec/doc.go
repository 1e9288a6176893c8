// Package toucanspec describes the stand-in replicas that toucantarget serves
// and the ledger that it keeps.
package toucanspec
