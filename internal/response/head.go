package response

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

const (
	// versionPrefix is the part of the version that all messages of HTTP/1 have in common.
	versionPrefix = "HTTP/1."
	// statusDigits is the number of digits of a status.
	statusDigits = 3
	// minStatus and maxStatus are the bounds of a status.
	minStatus, maxStatus = 100, 599
	// lineBlanks are the characters that may stand around a value, and that begin a folded line.
	lineBlanks = " \t"
	// chunked is the only transfer coding that clients accept.
	chunked = "chunked"
)

// head checks the head of a response and those of interim responses before it, as their bytes arrive. It keeps one line; the client bounds
// the size of a head.
type head struct {
	// line is what has arrived of the current line, and field the field line before it, to which folded lines belong.
	line, field []byte
	// status is zero before the status line.
	status int
	// minorVersion is the second digit of the version.
	minorVersion byte
	// lengths and codings are the values of Content-Length and Transfer-Encoding.
	lengths, codings []string
}

// scan checks further bytes. It reports whether the head of the final response is complete; the rest of the bytes belongs to the body then.
func (h *head) scan(data []byte) (final bool, err error) {
	for {
		end := bytes.IndexByte(data, '\n')
		if end < 0 {
			h.line = append(h.line, data...)
			return false, nil
		}
		line := bytes.TrimSuffix(append(h.line, data[:end]...), []byte("\r"))
		data = data[end+1:]
		switch {
		case h.status == 0:
			err = h.setStatusLine(string(line))
		case len(line) == 0:
			err = h.endHead()
			final = h.status >= http.StatusOK
		default:
			err = h.addLine(line)
		}
		if err != nil || final {
			return final, err
		}
		if len(line) == 0 {
			*h = head{} // the head of an interim response is complete
		}
		h.line = line[:0]
	}
}

// setStatusLine decodes the status line. Without a reason, its last blank may be missing.
func (h *head) setStatusLine(line string) error {
	rest, ok := strings.CutPrefix(line, versionPrefix)
	if !ok || len(rest) < 2+statusDigits || !isDigits(rest[:1]) || rest[1] != ' ' {
		return fmt.Errorf("the status line %.64q does not begin with a version HTTP/1.x, a blank and a status", line)
	}
	status, reason := rest[2:2+statusDigits], rest[2+statusDigits:]
	if !isDigits(status) || reason != "" && reason[0] != ' ' {
		return fmt.Errorf("the status line %.64q has no status of %d digits", line, statusDigits)
	}
	h.minorVersion = rest[0] - '0'
	h.status, _ = strconv.Atoi(status) // these are digits
	switch {
	case h.status < minStatus || h.status > maxStatus:
		return fmt.Errorf("status %s is not between %d and %d", status, minStatus, maxStatus)
	case h.status == http.StatusSwitchingProtocols:
		return fmt.Errorf("status %s, but no request asks for another protocol", status)
	case !httpguts.ValidHeaderFieldValue(reason):
		return fmt.Errorf("control character in the status line %.64q", line)
	}
	return nil
}

// addLine adds a line after the status line.
func (h *head) addLine(line []byte) error {
	if strings.IndexByte(lineBlanks, line[0]) < 0 {
		err := h.endField()
		h.field = append(h.field[:0], line...)
		return err
	}
	if len(h.field) == 0 {
		return fmt.Errorf("line %.64q begins with a blank but continues no field", line)
	}
	h.field = append(append(h.field, ' '), line...)
	return nil
}

// endField checks the field line that is complete now, if any.
func (h *head) endField() error {
	if len(h.field) == 0 {
		return nil
	}
	name, value, ok := strings.Cut(string(h.field), ":")
	switch {
	case !ok:
		return fmt.Errorf("line %.64q has no colon", h.field)
	case !httpguts.ValidHeaderFieldName(name):
		return fmt.Errorf("%.64q is no name of a header field", name)
	case !httpguts.ValidHeaderFieldValue(value):
		return fmt.Errorf("control character in the value %.64q of header field %s", value, name)
	}
	switch http.CanonicalHeaderKey(name) {
	case "Content-Length":
		h.lengths = append(h.lengths, strings.Trim(value, lineBlanks))
	case "Transfer-Encoding":
		h.codings = append(h.codings, strings.Trim(value, lineBlanks))
	}
	return nil
}

// endHead checks the last field and what the head says of the body.
func (h *head) endHead() error {
	if err := h.endField(); err != nil {
		return err
	}
	length, err := h.length()
	hasNoBody := h.status < http.StatusOK || h.status == http.StatusNoContent
	switch {
	case err != nil:
		return err
	case len(h.codings) == 0 && hasNoBody && length > 0:
		return fmt.Errorf("length %d of a response with status %d, which has no body", length, h.status)
	case len(h.codings) == 0:
		return nil
	case hasNoBody:
		return fmt.Errorf("transfer coding %.64q of a response with status %d, which has no body", h.codings[0], h.status)
	case h.minorVersion == 0:
		return fmt.Errorf("transfer coding %.64q in HTTP/1.0", h.codings[0])
	case len(h.lengths) > 0:
		return fmt.Errorf("length %.64s and transfer coding %.64q", h.lengths[0], h.codings[0])
	case len(h.codings) > 1 || !strings.EqualFold(h.codings[0], chunked):
		return fmt.Errorf("transfer coding %.64q in place of %s", strings.Join(h.codings, ", "), chunked)
	}
	return nil
}

// length returns the value of Content-Length, which may be repeated, or zero without one.
func (h *head) length() (int64, error) {
	length := int64(0)
	for i, text := range h.lengths {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || !isDigits(text) {
			return 0, fmt.Errorf("length %.64q is no number of bytes", text)
		}
		if i > 0 && n != length {
			return 0, fmt.Errorf("different lengths %.64q", strings.Join(h.lengths, ", "))
		}
		length = n
	}
	return length, nil
}

// isDigits reports whether a text has only decimal digits.
func isDigits(text string) bool { return strings.Trim(text, "0123456789") == "" }
