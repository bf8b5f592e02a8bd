// Package membership keeps track of the live instances of a failure domain and of contacts in other domains.
//
// Each instance probes one random peer a second, directly and then through two others, and
// spreads what it learns by pairwise exchanges. A peer that does not answer is suspect after
// about 3 s and dead after about 10 s; a suspect that is alive refutes the suspicion with a
// higher incarnation number. Instances of other domains are not members: each domain has two
// delegates to each other domain, and an instance keeps only a few contacts there.
//
// The tests run partitions, pauses, crashes, restarts and lost messages in virtual time and check
// these bounds: in domains of up to 12 members all views agree 20 s after the last fault, and a
// running and reachable member is not held dead for longer than 8 s with 15% of the messages
// lost. With 90 members, ten simultaneous crashes are known everywhere within 20 s.
package membership
