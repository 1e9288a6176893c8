package toucanfollower_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanstair.example/core/toucanreplica"
	"toucanstair.example/toucanstair/toucanmirror"
)

// storeCopy is the state of a fakeStore at one time.
type storeCopy struct {
	items    map[string]toucanmirror.Item
	log      []toucanmirror.Item
	revision toucanmirror.Revision
}

func (s *fakeStore) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{maps.Clone(s.items), slices.Clone(s.log), s.revision}
}

// restore brings the store back from a copy, in the next era, and returns the changes
// since that others than the hosts have made, in their order.
func (s *fakeStore) restore(c storeCopy) (lost []toucanmirror.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := s.revision.Era() + 1
	if s.hidesEra {
		era = s.revision.Era()
	}
	for _, it := range s.log[len(c.log):] {
		if !strings.HasPrefix(it.Key, "hosts/") {
			lost = append(lost, it)
		}
	}
	inEra := func(it toucanmirror.Item) toucanmirror.Item {
		it.Revision = toucanmirror.At(era, it.Revision.Count())
		return it
	}
	s.items, s.log = map[string]toucanmirror.Item{}, nil
	for key, it := range c.items {
		s.items[key] = inEra(it)
	}
	for _, it := range c.log {
		s.log = append(s.log, inEra(it))
	}
	s.revision = toucanmirror.At(era, c.revision.Count())
	close(s.changed)
	s.changed = make(chan struct{})
	return lost
}

// drill takes the store away for a moment and brings it back from a copy.
func (f *simulatedFleet) drill(c storeCopy) (lost []toucanmirror.Item) {
	f.setMode(storeRefuses, f.order...)
	<-time.After(600 * time.Millisecond)
	lost = f.store.restore(c)
	f.setMode(storeServes, f.order...)
	return lost
}

// writeAgain writes lost changes again.
func (f *simulatedFleet) writeAgain(lost []toucanmirror.Item) {
	for _, it := range lost {
		f.store.change(toucanmirror.Item{Key: it.Key, Value: it.Value, Deleted: it.Deleted})
	}
}

// beat writes the heartbeats of targets until stop is closed.
func (f *simulatedFleet) beat(stop <-chan struct{}, ids ...string) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(1200 * time.Millisecond):
			for _, id := range ids {
				f.store.put("t/"+id, fmt.Sprint("ready ", n))
			}
		}
	}
}

// candidates returns the targets that a host may send requests to.
func (n *simulatedNode) candidates() []string {
	var out []string
	for _, t := range n.Targets.Candidates("s") {
		out = append(out, string(t.ID))
	}
	return out
}

// fleetSizes are the numbers of hosts of the simulated drills.
var fleetSizes = []int{6, 62}

// Guards against hosts that keep an older version of the rules for good after the store came back from an earlier copy.
func TestRulesApplyAfterStoreCameBack(t *testing.T) {
	for _, hosts := range fleetSizes {
		for name, drill := range map[string]func(*simulatedFleet){
			"one drill": func(f *simulatedFleet) {
				c := f.store.copy()
				f.writeUnread(200)
				f.drill(c)
				<-time.After(1500 * time.Millisecond)
			},
			"a second one 4 s later": func(f *simulatedFleet) {
				c := f.store.copy()
				f.writeUnread(200)
				f.drill(c)
				<-time.After(4 * time.Second)
				c = f.store.copy()
				f.writeUnread(100)
				f.drill(c)
				<-time.After(1500 * time.Millisecond)
			},
			"the count has passed the old one": func(f *simulatedFleet) {
				c := f.store.copy()
				f.writeUnread(20)
				<-time.After(5 * time.Second)
				f.setMode(storeRefuses, f.order...)
				<-time.After(600 * time.Millisecond)
				f.store.restore(c)
				f.store.put("rules", "2")
				f.writeUnread(100)
				f.setMode(storeServes, f.order...)
			},
		} {
			t.Run(fmt.Sprint(name, "/", hosts), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleetWithin(t, hosts, maxPropagation)
					drill(f)
					f.store.put("rules", "3")
					<-time.After(maxPropagation)
					for _, n := range f.order {
						require.Equal(t, uint64(3), rulesVersion(n.Follower), n.Self.ID)
					}
				})
			})
		}
	}
}

// writeUnread writes changes that concern no host.
func (f *simulatedFleet) writeUnread(count int) {
	for n := range count {
		f.store.put("t/busy", fmt.Sprint("ready ", n))
	}
}

// Guards against an older version of the rules that takes effect because the copy has it, or because lost versions are written again in turn.
func TestRulesDoNotGoBackWithTheStore(t *testing.T) {
	for _, hosts := range fleetSizes {
		for _, pause := range []time.Duration{0, 3 * time.Second, 20 * time.Second} {
			t.Run(fmt.Sprint(hosts, "/", pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleetWithin(t, hosts, maxPropagation)
					c := f.store.copy()
					for _, version := range []string{"2", "3", "4"} {
						f.store.put("rules", version)
					}
					<-time.After(5 * time.Second)
					lost := f.drill(c)
					never := func(d time.Duration) {
						for end := time.Now().Add(d); time.Now().Before(end); <-time.After(50 * time.Millisecond) {
							for _, n := range f.order {
								require.GreaterOrEqual(t, rulesVersion(n.Follower), uint64(4), n.Self.ID)
							}
						}
					}
					never(pause)
					for _, it := range lost {
						f.writeAgain([]toucanmirror.Item{it})
						never(200 * time.Millisecond)
					}
					never(5 * time.Second)
					f.store.put("rules", "5")
					<-time.After(maxPropagation)
					for _, n := range f.order {
						require.Equal(t, uint64(5), rulesVersion(n.Follower), n.Self.ID)
					}
				})
			})
		}
	}
}

// Guards against requests to a target that has left, because the copy still has its entry, and against refusals because the copy lacks the entry of a live one.
func TestTargetsAfterStoreCameBack(t *testing.T) {
	for _, hosts := range fleetSizes {
		for _, pause := range []time.Duration{0, 2 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprint(hosts, "/", pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleetWithin(t, hosts, maxPropagation)
					stop := make(chan struct{})
					defer close(stop)
					go f.beat(stop, "old")
					f.store.put("t/leaves", "ready")
					f.store.put("t/drains", "ready")
					<-time.After(4 * time.Second)
					c := f.store.copy()
					f.store.remove("t/leaves")
					f.store.put("t/drains", "draining")
					f.store.put("t/new", "ready")
					go f.beat(stop, "new")
					<-time.After(5 * time.Second)
					lost := f.drill(c)
					began, rewritten := time.Now(), false
					for time.Since(began) < 25*time.Second {
						if !rewritten && time.Since(began) >= pause {
							rewritten = true
							f.writeAgain(slices.DeleteFunc(lost, func(it toucanmirror.Item) bool { return it.Key != "t/leaves" && it.Key != "t/drains" }))
						}
						for _, n := range f.order {
							got := n.candidates()
							require.NotContains(t, got, "leaves", "%s, %v after the drill", n.Self.ID, time.Since(began))
							require.NotContains(t, got, "drains", "%s, %v after the drill", n.Self.ID, time.Since(began))
							require.Contains(t, got, "old", "%s, %v after the drill", n.Self.ID, time.Since(began))
							if time.Since(began) > 2*time.Second+maxPropagation {
								require.Contains(t, got, "new", "%s, %v after the drill", n.Self.ID, time.Since(began))
							}
						}
						<-time.After(50 * time.Millisecond)
					}
				})
			})
		}
	}
}

// Guards against requests to a zone that is out, because the copy lacks the order.
func TestZonesStayOutAfterStoreCameBack(t *testing.T) {
	for _, hosts := range fleetSizes {
		for _, pause := range []time.Duration{0, 3 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprint(hosts, "/", pause), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := startFleetWithin(t, hosts, maxPropagation)
					f.store.put("out/z1", "")
					<-time.After(2 * maxPropagation)
					c := f.store.copy()
					f.store.put("out/z0", "")
					f.store.remove("out/z1")
					<-time.After(5 * time.Second)
					lost := f.drill(c)
					began, rewritten := time.Now(), false
					for time.Since(began) < 25*time.Second {
						if !rewritten && time.Since(began) >= pause {
							rewritten = true
							f.writeAgain(lost)
						}
						for _, n := range f.order {
							require.Contains(t, n.OutOfServiceZones(), f.order[0].Self.Zone, "%s, %v after the drill", n.Self.ID, time.Since(began))
							if time.Since(began) > pause+maxPropagation {
								require.NotContains(t, n.OutOfServiceZones(), f.order[1].Self.Zone, "%s, %v after the drill", n.Self.ID, time.Since(began))
							}
						}
						<-time.After(50 * time.Millisecond)
					}
					f.store.remove("out/z0")
					<-time.After(maxPropagation)
					for _, n := range f.order {
						require.Empty(t, n.OutOfServiceZones(), n.Self.ID)
					}
				})
			})
		}
	}
}

// Guards against a reader that lists without a pause until the store refuses calls.
func TestStoreThatCameBackIsListedOnce(t *testing.T) {
	for _, hosts := range []int{6, 295} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetWithin(t, hosts, maxPropagation)
				calls := func() (sum int64) {
					for _, n := range f.order {
						sum += n.calls.Load()
					}
					return sum
				}
				const period = 10 * time.Second
				before := calls()
				<-time.After(period)
				usual := calls() - before
				c := f.store.copy()
				f.writeUnread(500)
				<-time.After(3 * time.Second)
				f.setMode(storeRefuses, f.order...)
				<-time.After(600 * time.Millisecond)
				f.store.restore(c)
				f.setMode(storeServes, f.order...)
				before = calls()
				<-time.After(period)
				after := calls() - before
				t.Logf("%d hosts: %d calls in %v before, %d after the drill", hosts, usual, period, after)
				// Each zone has one reader, and others for a moment after the outage; a list more for
				// each of them, and a watch for each pause.
				require.Less(t, after, 4*usual+int64(4*len(f.readers())))
			})
		})
	}
}

// Guards against a store that never has the changes, which each host would list without a pause.
func TestListsArePausedWhileStoreHasNoChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.put("rules", "1")
		startFollower(t, s)
		<-time.After(2 * time.Second)
		s.set(func() { s.compactedTo = toucanmirror.MaxCount })
		before := s.callCount()
		<-time.After(10 * time.Second)
		require.Less(t, s.callCount()-before, 40)
	})
}

// Guards against any of these faults in an order of events that no other test has: drills, cuts, changes and what is written again late and out of turn.
func TestRandomDrills(t *testing.T) {
	for _, seed := range fleetSeeds(t) {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRandomDrills(t, seed) })
		})
	}
}

// truth is what the operators and the targets have written last.
type truth struct {
	version uint64
	out     map[string]bool      // zones
	gone    map[string]time.Time // targets that have left for good, and when
	live    map[string]bool
}

func testRandomDrills(t *testing.T, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 36))
	f := startFleetWithin(t, 23, maxPropagation)
	know := truth{version: 1, out: map[string]bool{}, gone: map[string]time.Time{}, live: map[string]bool{}}
	copies := []storeCopy{f.store.copy()}
	versions := make([]uint64, len(f.order))
	var lost []toucanmirror.Item
	var lostUntil time.Time
	// write makes a change, after which an earlier one of its key isn't written again.
	write := func(it toucanmirror.Item) {
		lost = slices.DeleteFunc(lost, func(l toucanmirror.Item) bool { return l.Key == it.Key })
		f.store.change(it)
	}
	put := func(key, value string) { write(toucanmirror.Item{Key: key, Value: []byte(value)}) }
	remove := func(key string) { write(toucanmirror.Item{Key: key, Deleted: true}) }
	next := 0
	end := time.Now().Add(2 * time.Minute)
	for step := 0; time.Now().Before(end); step++ {
		<-time.After(200 * time.Millisecond)
		if copies = append(copies, f.store.copy()); len(copies) > 25 {
			copies = copies[1:]
		}
		for id := range know.live {
			if step%6 == len(id)%6 {
				f.store.put("t/"+id, fmt.Sprint("ready ", step))
			}
		}
		if len(lost) > 0 && time.Now().After(lostUntil) {
			f.writeAgain(lost)
			lost = nil
		}
		switch random.IntN(40) {
		case 0, 1:
			know.version++
			put("rules", fmt.Sprint(know.version))
		case 2:
			next++
			id := fmt.Sprint("t", next)
			know.live[id] = true
			put("t/"+id, "ready")
		case 3:
			for id := range know.live {
				delete(know.live, id)
				know.gone[id] = time.Now()
				remove("t/" + id)
				break
			}
		case 4:
			zone := fmt.Sprint("z", random.IntN(6))
			if know.out[zone] = !know.out[zone]; know.out[zone] {
				put("out/"+zone, "")
			} else {
				remove("out/" + zone)
			}
		case 5:
			n := f.order[random.IntN(len(f.order))]
			f.setMode(storeSilent, n)
			time.AfterFunc(time.Duration(random.IntN(4000))*time.Millisecond, func() { f.setMode(storeServes, n) })
		case 6:
			if lost != nil {
				break
			}
			c := copies[random.IntN(len(copies))]
			copies = nil
			lost = f.drill(c)
			// The last change of each key is written again.
			last := map[string]toucanmirror.Item{}
			for _, it := range lost {
				last[it.Key] = it
			}
			lost = slices.Collect(maps.Values(last))
			random.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
			lostUntil = time.Now().Add(time.Duration(random.IntN(3000)) * time.Millisecond)
			for id := range know.live { // live targets write their entries themselves
				lost = slices.DeleteFunc(lost, func(it toucanmirror.Item) bool { return it.Key == "t/"+id })
			}
		}
		for i, n := range f.order {
			version := rulesVersion(n.Follower)
			require.GreaterOrEqual(t, version, versions[i], "seed %d, step %d: %s regresses", seed, step, n.Self.ID)
			versions[i] = version
		}
	}
	f.writeAgain(lost)
	f.setMode(storeServes, f.order...)
	<-time.After(20 * time.Second)
	for id := range know.live {
		f.store.put("t/"+id, "ready at last")
	}
	<-time.After(3 * maxPropagation)
	for _, n := range f.order {
		require.Equal(t, know.version, rulesVersion(n.Follower), "seed %d: %s", seed, n.Self.ID)
		for zone, out := range know.out {
			require.Equal(t, out, n.OutOfServiceZones()[f.order[int(zone[1]-'0')].Self.Zone], "seed %d: %s, zone %s", seed, n.Self.ID, zone)
		}
		got := n.candidates()
		for id := range know.gone {
			require.NotContains(t, got, id, "seed %d: %s", seed, n.Self.ID)
		}
		for id := range know.live {
			require.Contains(t, got, id, "seed %d: %s", seed, n.Self.ID)
			require.True(t, n.Targets.Contains(toucanreplica.ID(id)))
		}
	}
}
