package gossip

import (
	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
	"github.com/poplarwinch/poplarwinch/quarantine"
)

// encodeStarts returns what a report says of the starts of servers that crashed more than once under their id, once for each start and not
// with each death. Most servers start again under another id, and add nothing. It is a suspect without a fingerprint, which older versions
// skip, and each of its deaths has the start's boot in place of Silence. Deaths whose start isn't known stand there too, with a boot of zero, so
// that they aren't taken for those of another start.
func encodeStarts(list []quarantine.Suspect, now clock.Millis) suspect {
	type start struct {
		upstream poplarwinch.UpstreamID
		boot     int64
		at       clock.Millis // of a death whose start isn't known; zero for others
	}
	again := startedAgain(list)
	encoded, known := suspect{}, map[start]bool{}
	for i := range list {
		for _, d := range list[i].Deaths {
			s := start{upstream: d.Upstream, boot: d.Boot}
			if d.Boot == 0 {
				s.at = d.At
			}
			if !again[d.Upstream] || known[s] {
				continue
			}
			known[s] = true
			encoded.Deaths = append(encoded.Deaths, death{Upstream: d.Upstream, Age: now - d.At, Silence: clock.Millis(d.Boot)})
		}
	}
	return encoded
}

// startedAgain returns the servers that have several deaths in a suspect.
func startedAgain(list []quarantine.Suspect) map[poplarwinch.UpstreamID]bool {
	again := map[poplarwinch.UpstreamID]bool{}
	for i := range list {
		seen := map[poplarwinch.UpstreamID]bool{}
		for _, d := range list[i].Deaths {
			again[d.Upstream] = again[d.Upstream] || seen[d.Upstream]
			seen[d.Upstream] = true
		}
	}
	return again
}

// starts has what a report says of the starts of servers; see encodeStarts.
type starts map[poplarwinch.UpstreamID][]death

func decodeStarts(list []suspect) starts {
	s := starts{}
	for _, w := range list {
		if len(w.Fingerprint) > 0 {
			continue
		}
		for _, d := range w.Deaths {
			s[d.Upstream] = append(s[d.Upstream], d)
		}
	}
	return s
}

// bootOf returns the boot of the server that died, or zero if the report doesn't say it: that of the start whose death is the nearest one,
// since reports of one death differ by less than the time from a start to its death.
func (s starts) bootOf(d death) (boot int64) {
	nearest := clock.Millis(0)
	for i, start := range s[d.Upstream] {
		if distance := max(start.Age-d.Age, d.Age-start.Age); i == 0 || distance < nearest {
			boot, nearest = int64(start.Silence), distance
		}
	}
	return boot
}
