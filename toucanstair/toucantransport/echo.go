package toucantransport

// echo says whether a target has the id of the request in its responses of one kind.
type echo int

const (
	echoUnknown echo = iota
	echoPresent
	echoMissing
)

// responseKind is a kind of responses that a target sends either all with or all without
// the id.
type responseKind int

const (
	kindSuccess responseKind = iota
	kindRefusal
	kindFailure
	responseKinds = iota
)

func (names *Headers) kind(res *Response) responseKind {
	switch {
	case names.isRefusal(res):
		return kindRefusal
	case res.Status/100 == 2:
		return kindSuccess
	}
	return kindFailure
}

// echoes reports whether the target is known to have the id in responses of a kind.
func (p *pool) echoes(k responseKind) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.echo[k] == echoPresent
}

// recordEcho records whether a response of a kind had the id. Without it, a response can be
// told from a late one to another request only on a connection that has carried one
// request, so no connection is used again.
func (p *pool) recordEcho(k responseKind, present bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if present {
		p.echo[k] = echoPresent
		return
	}
	if p.echo[k] != echoMissing {
		omittedIDs.Inc()
	}
	p.echo[k] = echoMissing
	p.closeIdle()
}

// omitsIDs reports whether the target leaves the id out of responses of any kind; the
// caller holds mu.
func (p *pool) omitsIDs() bool {
	for _, e := range p.echo {
		if e == echoMissing {
			return true
		}
	}
	return false
}
