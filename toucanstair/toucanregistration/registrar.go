// Package toucanregistration maintains a host's entry in the store, by which
// other hosts find it.
package toucanregistration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucanpanic"
	"toucanstair.example/toucanstair/toucansource"
)

const (
	// leaseTTL is how long an entry remains after its host has died.
	leaseTTL = 9 * time.Second
	// renewInterval allows for two lost renewals within leaseTTL.
	renewInterval = 2700 * time.Millisecond
	// callTimeout bounds a renewal or registration with all its calls, and the
	// revocation of the lease.
	callTimeout = 1500 * time.Millisecond
	// retryInterval is the pause before a registration, also before the first.
	retryInterval = 1200 * time.Millisecond
)

// KeyPrefix is the prefix of the keys of hosts' entries.
const KeyPrefix = "hosts/"

// Lease identifies a lease of the store.
type Lease string

// Store is the part of the platform's store that a Registrar uses.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew extends the lease. It returns false if the lease has ended.
	Renew(ctx context.Context, l Lease) (bool, error)
	Revoke(ctx context.Context, l Lease) error
	// Put writes a key that is deleted when the lease ends.
	Put(ctx context.Context, key string, value []byte, l Lease) error
}

// Registrar maintains the entry of Self. The fields are set before Run.
type Registrar struct {
	Store Store
	Self  toucansource.Peer
	Log   *zap.Logger
}

type entry struct {
	Zone      toucanzone.Name `json:"zone"`
	Address   string          `json:"address"`
	CPUMillis int             `json:"power"` // thousandths of a core
}

// Decode returns the host described by an entry, or nil if the entry is
// malformed.
func Decode(key string, value []byte) *toucansource.Peer {
	var e entry
	if len(key) <= len(KeyPrefix) || json.Unmarshal(value, &e) != nil {
		return nil
	}
	return &toucansource.Peer{ID: toucanhost.ID(key[len(KeyPrefix):]), Zone: e.Zone, Address: e.Address, CPUMillis: e.CPUMillis}
}

// Run maintains the entry until ctx ends and then deletes it. The returned
// channel receives the error of the deletion, or nil.
func (r *Registrar) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		lease, before := Lease(""), Lease("")
		for toucantimer.Wait(ctx, pause(lease, lease != before)) {
			before = lease
			// After a panic the lease is tried again.
			if panicked := toucanpanic.Call(func() { lease = r.renewOrRegister(ctx, lease) }); panicked != nil {
				r.Log.Error("registration panicked", zap.Error(panicked), zap.ByteString("stack", panicked.Stack))
			}
		}
		end <- r.deregister(context.WithoutCancel(ctx), lease)
	}()
	return end
}

// pause returns the time until a lease is renewed, or the host registers. The first renewal
// of a new lease comes at a random time, since hosts that start together would otherwise
// all register together when their leases end together.
func pause(l Lease, isNew bool) time.Duration {
	switch {
	case l == "":
		return retryInterval
	case isNew:
		return rand.N(renewInterval)
	}
	return renewInterval
}

// renewOrRegister renews a lease, or registers again if it has ended. It
// returns "" if there is no entry.
func (r *Registrar) renewOrRegister(ctx context.Context, l Lease) Lease {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if l != "" {
		alive, err := r.Store.Renew(ctx, l)
		if err != nil {
			r.Log.Warn("lease not renewed", zap.String("lease", string(l)), zap.Error(err))
			return l
		}
		if alive {
			return l
		}
		r.Log.Info("lease has ended, registering again", zap.String("lease", string(l)))
	}
	value, err := json.Marshal(entry{r.Self.Zone, r.Self.Address, r.Self.CPUMillis})
	if err != nil {
		r.Log.Error("encoding the host's entry failed", zap.Error(err))
		return ""
	}
	l, err = r.Store.Grant(ctx, leaseTTL)
	if err == nil {
		err = r.Store.Put(ctx, KeyPrefix+string(r.Self.ID), value, l)
	}
	if err != nil {
		r.Log.Warn("registration failed", zap.Error(err))
		return ""
	}
	r.Log.Info("registered", zap.String("lease", string(l)))
	return l
}

func (r *Registrar) deregister(ctx context.Context, l Lease) error {
	if l == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.Store.Revoke(ctx, l)
}
