// Package toucanregistration keeps a host's entry in the store, by which the other
// hosts find it.
package toucanregistration

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"toucanstair.example/core/toucanhost"
	"toucanstair.example/core/toucantimer"
	"toucanstair.example/core/toucanzone"
	"toucanstair.example/toucanstair/toucansource"
)

const (
	// leaseTime is how long an entry outlives its host.
	leaseTime = 9 * time.Second
	// renewTime leaves room for two lost renewals.
	renewTime = 2700 * time.Millisecond
	// callTime bounds one call.
	callTime = 1500 * time.Millisecond
	// retryTime is the pause after a failed registration.
	retryTime = 1200 * time.Millisecond
)

// KeyPrefix is the prefix of the hosts' keys.
const KeyPrefix = "hosts/"

// Lease identifies a lease of the store.
type Lease string

// Store is the platform's store, as far as it is written here.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (Lease, error)
	// Renew reports whether the lease still runs.
	Renew(ctx context.Context, l Lease) (bool, error)
	Revoke(ctx context.Context, l Lease) error
	// Put writes a key that goes when the lease ends.
	Put(ctx context.Context, key string, value []byte, l Lease) error
}

// Registrar keeps the entry of Self. Its fields are set before Run.
type Registrar struct {
	Store Store
	Self  toucansource.Peer
	Log   *zap.Logger
}

type entry struct {
	Zone    toucanzone.Name `json:"zone"`
	Address string          `json:"address"`
	Power   int             `json:"power"` // thousandths of a core
}

// Decode returns the host that an entry names, or nil for one that can't be
// read.
func Decode(key string, value []byte) *toucansource.Peer {
	var e entry
	if len(key) <= len(KeyPrefix) || json.Unmarshal(value, &e) != nil {
		return nil
	}
	return &toucansource.Peer{ID: toucanhost.ID(key[len(KeyPrefix):]), Zone: e.Zone, Address: e.Address, CPUMillis: e.Power}
}

// Run keeps the entry until ctx ends, removes it and reports on the channel.
func (r *Registrar) Run(ctx context.Context) <-chan error {
	end := make(chan error, 1)
	go func() {
		lease := Lease("")
		for toucantimer.Wait(ctx, r.pause(lease)) {
			lease = r.step(ctx, lease)
		}
		end <- r.leave(context.WithoutCancel(ctx), lease)
	}()
	return end
}

func (r *Registrar) pause(l Lease) time.Duration {
	if l == "" {
		return retryTime
	}
	return renewTime
}

// step renews a lease or registers anew; "" means that there is no entry.
func (r *Registrar) step(ctx context.Context, l Lease) Lease {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if l != "" {
		runs, err := r.Store.Renew(ctx, l)
		if err != nil {
			r.Log.Warn("lease not renewed", zap.String("lease", string(l)), zap.Error(err))
			return l
		}
		if runs {
			return l
		}
		r.Log.Info("lease has ended, registering again", zap.String("lease", string(l)))
	}
	value, err := json.Marshal(entry{r.Self.Zone, r.Self.Address, r.Self.CPUMillis})
	if err != nil {
		r.Log.Error("encoding the host's entry", zap.Error(err))
		return ""
	}
	l, err = r.Store.Grant(ctx, leaseTime)
	if err == nil {
		err = r.Store.Put(ctx, KeyPrefix+string(r.Self.ID), value, l)
	}
	if err != nil {
		r.Log.Warn("not registered", zap.Error(err))
		return ""
	}
	r.Log.Info("registered", zap.String("lease", string(l)))
	return l
}

func (r *Registrar) leave(ctx context.Context, l Lease) error {
	if l == "" {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return r.Store.Revoke(ctx, l)
}
