// Package membership tracks the live instances of a failure domain and a few contacts in other domains.
//
// It is a gossip protocol in the manner of SWIM. Each second an instance probes one pseudo-random
// peer, directly and then indirectly through two others, and exchanges record changes with another
// peer. A peer that does not answer is suspect after about 3 s and dead after about 10 s; a live
// suspect refutes the suspicion with a higher incarnation number. Instances of other domains are not
// members: two delegates of each domain exchange with each other domain, and an instance keeps only
// a few contacts there.
//
// The tests run partitions, pauses, crashes, restarts and message loss in virtual time and check
// these bounds: in domains of up to 12 members all views converge within 20 s of the last fault, and
// a running and reachable member is not recorded as dead for longer than 8 s at 15% message loss.
// With 90 members, ten simultaneous crashes are known to all within 20 s.
package membership
