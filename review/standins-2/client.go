package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

var lastAttempt atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastAttempt.Add(1)) }

// attempt is one client attempt and what came of it.
type attempt struct {
	id      string
	daemon  *daemon
	sentAt  time.Time
	status  int
	retry   time.Duration
	events  []event
	header  http.Header
	body    []byte
	whole   bool
	failure error
}

type event struct {
	id      int
	server  string
	version string
}

// request is what a client attempt sends.
type request struct {
	method, host, path, model, resumes string
	lastEvent                          int
	deadline                           time.Duration
	body                               []byte
	extra                              []string
}

// send sends a request on a new channel and reads the answer to its end.
func send(d *daemon, q request, onEvent func(event)) *attempt {
	a := &attempt{id: newID(), daemon: d, sentAt: time.Now()}
	conn, err := net.DialTimeout("tcp", d.frontend, time.Second)
	if err != nil {
		a.failure = err
		return a
	}
	defer conn.Close()
	a.exchange(conn, bufio.NewReader(conn), q, onEvent)
	return a
}

// exchange sends a request on a channel and reads the answer.
func (a *attempt) exchange(conn net.Conn, reader *bufio.Reader, q request, onEvent func(event)) {
	_ = conn.SetDeadline(time.Now().Add(q.deadline))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, a.id, q.deadline.Milliseconds())
	if q.model != "" {
		fmt.Fprintf(&b, "Model: %s\r\nToken-Usage: 826,294\r\nPrefix-Hash: 5c1e07a2:198,%s:628\r\n", q.model, a.id[8:])
	}
	if q.lastEvent > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\nResumes: %s\r\n", q.lastEvent, q.resumes)
	}
	for _, line := range q.extra {
		b.WriteString(line + "\r\n")
	}
	if q.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	note("client sends", a.id, "to", a.daemon.name, q.path, "last event", strconv.Itoa(q.lastEvent), "resumes", q.resumes)
	if _, a.failure = io.WriteString(conn, b.String()); a.failure != nil {
		return
	}
	var answer *http.Response
	if answer, a.failure = http.ReadResponse(reader, &http.Request{Method: q.method}); a.failure != nil {
		note("client got no answer", a.id, a.failure.Error())
		return
	}
	a.status, a.header = answer.StatusCode, answer.Header
	if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); err == nil {
		a.retry = time.Duration(seconds * float64(time.Second))
	}
	if strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream") && a.status == http.StatusOK {
		a.readEvents(bufio.NewReader(answer.Body), onEvent)
	} else {
		a.body, a.failure = io.ReadAll(answer.Body)
		a.whole = a.failure == nil
	}
	note("client got", a.id, strconv.Itoa(a.status), "whole", fmt.Sprint(a.whole), "events", strconv.Itoa(len(a.events)), fmt.Sprint(a.failure))
}

func (a *attempt) readEvents(reader *bufio.Reader, onEvent func(event)) {
	var e event
	inEvent := false
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			a.whole = err == io.EOF && !inEvent && line == ""
			if !a.whole {
				a.failure = err
			}
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && inEvent:
			a.events = append(a.events, e)
			if onEvent != nil {
				onEvent(e)
			}
			e, inEvent = event{}, false
		case strings.HasPrefix(line, "id: "):
			e.id, _ = strconv.Atoi(line[4:])
			inEvent = true
		case strings.HasPrefix(line, "data: "):
			fields := strings.Fields(line[6:])
			e.server, e.version = fields[0], fields[1]
			inEvent = true
		}
	}
}
