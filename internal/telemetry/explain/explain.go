// Package explain reads the structured logs of daemons and tells what became of requests, and why.
//
// # Usage
//
//	lines, err := explain.Read(file)
//	explain.WriteCauses(os.Stdout, explain.Causes(lines))
//	explain.WriteRequest(os.Stdout, lines, "9c41d07be2a35f68")
//
// The logs of all hosts may stand in one file or in several, in any order, and something else may
// stand before the JSON of a line. What is no log line is passed over and counted.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
)

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// requestEnded is the message of the line that a daemon logs at the end of each request.
const requestEnded = "request ended"

// Line is a line of a log. Times that the daemon logs are in milliseconds.
type Line struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Route   string
	Status  int
	Reason  string
	// Placed is how long the request waited for servers, and FirstEvent until its first event.
	Placed       float64
	FirstEvent   float64
	LongestPause float64
	Took         float64
	// Objective is until when an answer, or its first event, is on time, and MaxPause the longest
	// pause between two events; 0 is any.
	Objective float64
	MaxPause  float64
	Attempts  string

	// text is the line as it was read.
	text []byte
}

// Log is what was read.
type Log struct {
	Lines []Line
	// Skipped is the number of lines that are no log lines.
	Skipped int
}

// Read reads a log to its end.
func Read(r io.Reader) (Log, error) {
	var log Log
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			log.Skipped++
			continue
		}
		log.Lines = append(log.Lines, line)
	}
	return log, errors.Wrap(scanner.Err(), "read log")
}

func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	var line Line
	if err := json.Unmarshal(text[begin:], &line); err != nil || line.Time.IsZero() {
		return Line{}, false
	}
	line.text = bytes.Clone(text[begin:])
	return line, true
}

// Merge joins logs.
func Merge(logs ...Log) Log {
	var all Log
	for _, l := range logs {
		all.Lines = append(all.Lines, l.Lines...)
		all.Skipped += l.Skipped
	}
	return all
}
