package manifest

import (
	"fmt"
	"regexp"
	"time"

	"github.com/poplarwinch/poplarwinch/clock"
)

// Date is a date with an optional UTC offset in the format of XML Schema, such as 2027-06-30 or 2027-06-30-04:00. Without
// an offset it is in UTC.
type Date string

var datePattern = regexp.MustCompile(`^(\d{4}-\d{2}-\d{2})(Z|[+-]\d{2}:\d{2})?$`)

// End returns the end of the day: the first millisecond of the next one.
func (d Date) End() (clock.Millis, error) {
	parts := datePattern.FindStringSubmatch(string(d))
	if parts == nil {
		return 0, fmt.Errorf("%q is not a date", string(d))
	}
	offset := parts[2]
	if offset == "" {
		offset = "Z"
	}
	start, err := time.Parse("2006-01-02Z07:00", parts[1]+offset)
	if err != nil {
		return 0, fmt.Errorf("%q is not a date", string(d))
	}
	return clock.FromTime(start.AddDate(0, 0, 1)), nil
}
