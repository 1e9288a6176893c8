package integration

import "testing"

// Guards against a harness that breaks what it only means to carry: with no
// fault injected every host answers in full through the proxies.
func TestBedWithoutFaults(t *testing.T) {
	b := newBed(t)
	b.startCovered()
}
