package quarantine

import (
	"encoding/json"
	"fmt"

	"github.com/poplarwinch/poplarwinch"
	"github.com/poplarwinch/poplarwinch/clock"
)

// maxStoredBytes bounds the size of the row, in bytes. Suspects that have no place are those with the fewest deaths.
const maxStoredBytes = 48 << 10

// Estimates of the size of a group in the row, in bytes.
const (
	bytesPerGroup  = 64
	bytesPerMember = 28
	bytesPerDeath  = 88
)

// backupContent is the content of the row.
type backupContent struct {
	// WrittenAt is the time of the write by the store's clock.
	WrittenAt clock.Millis  `json:"written-at-ms"`
	Groups    []storedGroup `json:"groups"`
}

// storedGroup are suspects with the same deaths.
type storedGroup struct {
	// Fingerprints are those of all suspects, one after the other.
	Fingerprints []byte        `json:"fingerprints"`
	Positions    []int         `json:"positions"`
	Deaths       []storedDeath `json:"deaths"`
}

// storedDeath is a death that is held against the suspects. At is by the store's clock.
type storedDeath struct {
	Upstream poplarwinch.UpstreamID `json:"upstream"`
	// Boot is the start of the upstream's process; zero in rows of older versions.
	Boot    int64        `json:"boot,omitempty"`
	At      clock.Millis `json:"at-ms"`
	Silence clock.Millis `json:"silence-ms"`
}

// storedBytes returns an upper estimate of the size of the group in the row.
func (g *lastingGroup) storedBytes() int {
	size := bytesPerGroup + bytesPerMember*len(g.members)
	for _, d := range g.deaths {
		size += bytesPerDeath + len(d.Upstream)
	}
	return size
}

// fitting returns the groups that have a place in the row, in their order.
func fitting(groups []lastingGroup) []lastingGroup {
	var list []lastingGroup
	size := 0
	for i := range groups {
		if n := groups[i].storedBytes(); size+n <= maxStoredBytes {
			size += n
			list = append(list, groups[i])
		}
	}
	return list
}

// encodeBackup returns the content of the row with the groups. The offset is the time by the store's clock less that by the register's.
func encodeBackup(groups []lastingGroup, offset, now clock.Millis) ([]byte, error) {
	content := backupContent{WrittenAt: now + offset, Groups: []storedGroup{}}
	for i := range groups {
		content.Groups = append(content.Groups, encodeGroup(&groups[i], offset))
	}
	value, err := json.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode suspects: %w", err)
	}
	return value, nil
}

func encodeGroup(g *lastingGroup, offset clock.Millis) storedGroup {
	var s storedGroup
	for _, m := range g.members {
		s.Fingerprints = append(s.Fingerprints, m.fingerprint[:]...)
		s.Positions = append(s.Positions, m.position)
	}
	for _, d := range g.deaths {
		s.Deaths = append(s.Deaths, storedDeath{Upstream: d.Upstream, Boot: d.Boot, At: d.At + offset, Silence: d.Silence})
	}
	return s
}

// decodedBackup is the content of the row.
type decodedBackup struct {
	groups []lastingGroup
	// writtenAt is the time of the write.
	writtenAt clock.Millis
	// isOutdated says that the row has groups that have expired, or malformed ones.
	isOutdated bool
}

// decodeBackup decodes the row, of which groups that have expired by the register's time now are left out.
func decodeBackup(value []byte, offset, now clock.Millis) (decodedBackup, error) {
	if len(value) == 0 {
		return decodedBackup{}, nil
	}
	var content backupContent
	if err := json.Unmarshal(value, &content); err != nil {
		return decodedBackup{isOutdated: true}, fmt.Errorf("decode suspects: %w", err)
	}
	decoded := decodedBackup{writtenAt: content.WrittenAt - offset}
	for _, s := range content.Groups {
		if g, ok := decodeGroup(&s, offset, now); ok && now-g.lastDeathAt() < quarantinePeriod {
			decoded.groups = append(decoded.groups, g)
		} else {
			decoded.isOutdated = true
		}
	}
	return decoded, nil
}

// decodeGroup decodes a group; ok is false if it is malformed.
func decodeGroup(s *storedGroup, offset, now clock.Millis) (g lastingGroup, ok bool) {
	const size = len(Fingerprint{})
	if len(s.Deaths) == 0 || len(s.Positions) == 0 || len(s.Fingerprints) != size*len(s.Positions) {
		return g, false
	}
	for n, position := range s.Positions {
		g.members = append(g.members, lastingMember{Fingerprint(s.Fingerprints[n*size : (n+1)*size]), position})
	}
	for _, d := range s.Deaths {
		g.deaths = append(g.deaths, Death{Upstream: d.Upstream, Boot: d.Boot, At: min(d.At-offset, now), Silence: d.Silence})
	}
	return g, true
}
