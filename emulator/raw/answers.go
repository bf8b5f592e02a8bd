package raw

import (
	"fmt"
	"strings"
)

// Answer is a response as bytes.
type Answer struct {
	Name string
	text string
}

// Text returns the bytes of the response with the given header lines, each ending with CRLF, and the body. Some answers end only with
// their connection.
func (a *Answer) Text(lines, body string) string {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	return strings.NewReplacer(
		"$LINES", lines, "$LENGTH", fmt.Sprint(len(body)), "$CHUNKS", chunk+"0\r\n\r\n", "$CHUNK", chunk, "$BODY", body,
	).Replace(strings.ReplaceAll(a.text, "\n", "\r\n"))
}

// EndsWithConnection reports whether only the end of the connection ends the body.
func (a *Answer) EndsWithConnection() bool {
	text := strings.ToLower(a.text)
	return !strings.Contains(text, "content-length") && !strings.Contains(text, "transfer-encoding")
}

// withStatusLine returns an answer that has the status line and a length.
func withStatusLine(name, line string) Answer {
	return Answer{name, line + "\n$LINESContent-Length: $LENGTH\n\n$BODY"}
}

// withLine returns an answer that has the line in its head, and a length.
func withLine(name, line string) Answer {
	return Answer{name, "HTTP/1.1 200 OK\n$LINES" + line + "\nContent-Length: $LENGTH\n\n$BODY"}
}

// withFraming returns an answer whose lines are the only ones that say how long the body is.
func withFraming(name, lines, body string) Answer {
	return Answer{name, "HTTP/1.1 200 OK\n$LINES" + lines + "\n\n" + body}
}

// Malformed returns answers with heads that HTTP/1.1 forbids, or that no request of a client asked for.
func Malformed() []Answer {
	return []Answer{
		withStatusLine("status 000", "HTTP/1.1 000 OK"),
		withStatusLine("status 099", "HTTP/1.1 099 OK"),
		withStatusLine("status 600", "HTTP/1.1 600 OK"),
		withStatusLine("status 999", "HTTP/1.1 999 OK"),
		withStatusLine("status of two digits", "HTTP/1.1 20 OK"),
		withStatusLine("status of four digits", "HTTP/1.1 2000 OK"),
		withStatusLine("status with a sign", "HTTP/1.1 +20 OK"),
		withStatusLine("status with a letter", "HTTP/1.1 2x0 OK"),
		withStatusLine("status after two blanks", "HTTP/1.1  200 OK"),
		withStatusLine("status after a tab", "HTTP/1.1\t200 OK"),
		withStatusLine("blank before the version", " HTTP/1.1 200 OK"),
		withStatusLine("empty line before the status", "\nHTTP/1.1 200 OK"),
		withStatusLine("version 0.9", "HTTP/0.9 200 OK"),
		withStatusLine("version 2.0", "HTTP/2.0 200 OK"),
		withStatusLine("version of two digits", "HTTP/1.10 200 OK"),
		withStatusLine("version in lower case", "http/1.1 200 OK"),
		withStatusLine("control byte in the reason", "HTTP/1.1 200 O\x01K"),
		withStatusLine("switched protocols", "HTTP/1.1 101 Switching Protocols"),
		{"line with a blank before the first field", "HTTP/1.1 200 OK\n X-Note: a\n$LINESContent-Length: $LENGTH\n\n$BODY"},
		withLine("blank in a name", "X Note: a"),
		withLine("blank after a name", "X-Note : a"),
		withLine("tab after a name", "X-Note\t: a"),
		withLine("control byte in a name", "X-\x01Note: a"),
		withLine("null byte in a name", "X-\x00Note: a"),
		withLine("delete byte in a name", "X-\x7fNote: a"),
		withLine("separator in a name", "X(Note): a"),
		withLine("letter beyond ASCII in a name", "X-N\xc3\xb6te: a"),
		withLine("empty name", ": a"),
		withLine("no colon", "X-Note a"),
		withLine("null byte in a value", "X-Note: a\x00b"),
		withLine("control byte in a value", "X-Note: a\x01b"),
		withLine("delete byte in a value", "X-Note: a\x7fb"),
		withLine("carriage return in a value", "X-Note: a\rb"),
		withLine("carriage return at the end of a value", "X-Note: a\r"),
		withLine("control byte in a folded line", "X-Note: a\n b\x01"),
		withFraming("blank after Content-Length", "Content-Length : $LENGTH", "$BODY"),
		withFraming("blank after Content-Length, further bytes", "Content-Length : $LENGTH", "$BODYfurther"),
		withFraming("blank after Transfer-Encoding", "Transfer-Encoding : chunked", "$CHUNKS"),
		withFraming("control byte in Content-Length", "Content-\x0bLength: $LENGTH", "$BODY"),
		withFraming("control byte in Transfer-Encoding", "Transfer\x1f-Encoding: chunked", "$CHUNKS"),
		withFraming("two lengths", "Content-Length: $LENGTH\nContent-Length: 1", "$BODY"),
		withFraming("two lengths in a line", "Content-Length: $LENGTH, 1", "$BODY"),
		withFraming("length with a sign", "Content-Length: +$LENGTH", "$BODY"),
		withFraming("negative length", "Content-Length: -1", "$BODY"),
		withFraming("hexadecimal length", "Content-Length: 0x1", "$BODY"),
		withFraming("length beyond 64 bits", "Content-Length: 18446744073709551617", "$BODY"),
		withFraming("empty length", "Content-Length:", "$BODY"),
		withFraming("length and chunks", "Content-Length: $LENGTH\nTransfer-Encoding: chunked", "$CHUNKS"),
		withFraming("unknown encoding", "Transfer-Encoding: gzip", "$BODY"),
		withFraming("unknown encoding before chunks", "Transfer-Encoding: gzip, chunked", "$CHUNKS"),
		withFraming("chunks twice", "Transfer-Encoding: chunked, chunked", "$CHUNKS"),
		withFraming("chunks in two lines", "Transfer-Encoding: chunked\nTransfer-Encoding: chunked", "$CHUNKS"),
		withFraming("identity as encoding", "Transfer-Encoding: identity", "$BODY"),
		withFraming("empty encoding", "Transfer-Encoding:", "$CHUNKS"),
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\n$LINESTransfer-Encoding: chunked\n\n$CHUNKS"},
		{"length and chunks in HTTP/1.0", "HTTP/1.0 200 OK\n$LINESContent-Length: 1\nTransfer-Encoding: chunked\n\n$CHUNKS"},
		{"length of a 204", "HTTP/1.1 204 No Content\n$LINESContent-Length: 7\n\nanother"},
		{"chunks of a 204", "HTTP/1.1 204 No Content\n$LINESTransfer-Encoding: chunked\n\n$CHUNKS"},
		{"blank in a name of an interim response", "HTTP/1.1 103 Early Hints\nX Note: a\n\nHTTP/1.1 200 OK\n$LINESContent-Length: $LENGTH\n\n$BODY"},
		{"length of an interim response", "HTTP/1.1 100 Continue\nContent-Length: 5\n\nHTTP/1.1 200 OK\n$LINESContent-Length: $LENGTH\n\n$BODY"},
		{"no HTTP", "GARBAGE\n\n"},
	}
}

// Parts returns answers that break off: half of a body with a length, a chunk without the last one, and bytes that only the end of the
// connection ends.
func Parts() []Answer {
	return []Answer{
		withFraming("length", "Content-Length: 1$LENGTH", "$BODY"),
		withFraming("chunks", "Transfer-Encoding: chunked", "$CHUNK"),
		withFraming("end of the connection", "Connection: close", "$BODY"),
	}
}

// Whole returns whole answers with the same framings as those of Parts.
func Whole() []Answer {
	return []Answer{
		withFraming("length", "Content-Length: $LENGTH", "$BODY"),
		withFraming("chunks", "Transfer-Encoding: chunked", "$CHUNKS"),
		withFraming("end of the connection", "Connection: close", "$BODY"),
	}
}

// Sound returns whole answers with heads that HTTP/1.1 allows, or allows clients to accept.
func Sound() []Answer {
	return append(Whole(), []Answer{
		withFraming("length without a blank", "content-length:$LENGTH", "$BODY"),
		withFraming("the same length twice", "Content-Length: $LENGTH\nContent-Length: $LENGTH", "$BODY"),
		withFraming("length in a folded line", "Content-Length:\n $LENGTH", "$BODY"),
		withFraming("chunks in upper case", "TRANSFER-ENCODING: Chunked", "$CHUNKS"),
		{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\n$LINESContent-Length: $LENGTH\n\n$BODY"},
		{"HTTP/1.0 without a length", "HTTP/1.0 200 OK\n$LINES\n$BODY"},
		withStatusLine("empty reason", "HTTP/1.1 200 "),
		withStatusLine("no reason", "HTTP/1.1 200"),
		withStatusLine("reason with a tab and bytes beyond ASCII", "HTTP/1.1 200 all\tw\xc3\xa9ll"),
		withLine("folded line", "X-Note: a\n b\n\tc"),
		withLine("empty value", "X-Note:"),
		withLine("value between tabs and blanks", "X-Note: \t a \t"),
		withLine("value beyond ASCII", "X-Note: \xe4\xff"),
		withLine("unusual name", "!#$%&'*+-.^_`|~9: a"),
		{"interim responses", "HTTP/1.1 100 Continue\n\nHTTP/1.1 103 Early Hints\nLink: a\n\nHTTP/1.1 200 OK\n$LINESContent-Length: $LENGTH\n\n$BODY"},
	}...)
}
