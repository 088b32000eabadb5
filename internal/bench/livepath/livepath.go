// Package livepath measures running processes: what a daemon adds to a warm
// request, how many events of streams it passes on, and what it costs when idle.
//
// # Usage
//
//	added, err := livepath.MeasureHop(livepath.Target{...}, 2000)
//	rate, err := livepath.MeasureStream(target, 100000)
//	cost, err := livepath.MeasureIdle(target, 10*time.Second)
package livepath

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// clockTicks is the unit of processor time in /proc, per second, on Linux.
	clockTicks      = 100
	longestLatency  = int64(10 * time.Second)
	latencyDigits   = 3
	requestTimeout  = time.Minute
	warmupRequests  = 100
	percentileOften = 50
	percentileTail  = 99
)

// Target is what is measured.
type Target struct {
	// Daemon and Engine are addresses.
	Daemon string
	Engine string
	Key    string
	Model  string
	// Version and Model name a model that is loaded on the engine.
	Version string
	// Process is the process identifier of the daemon.
	Process int
}

// Hop is the latency of a request through the daemon and to the engine direct.
type Hop struct {
	Daemon Latency
	Direct Latency
}

// Latency is two percentiles.
type Latency struct {
	P50 time.Duration
	P99 time.Duration
}

// MeasureHop sends requests in turn through the daemon and to the engine.
func MeasureHop(target Target, requests int) (Hop, error) {
	client := &fasthttp.Client{ReadTimeout: requestTimeout}
	through := hdrhistogram.New(1, longestLatency, latencyDigits)
	direct := hdrhistogram.New(1, longestLatency, latencyDigits)
	for i := range requests + warmupRequests {
		for _, m := range []struct {
			histogram *hdrhistogram.Histogram
			address   string
		}{{through, target.Daemon}, {direct, target.Engine}} {
			took, err := timeRequest(client, m.address, target)
			if err != nil {
				return Hop{}, err
			}
			if i < warmupRequests {
				continue
			}
			if err := m.histogram.RecordValue(int64(took)); err != nil {
				return Hop{}, errors.Wrap(err, "record latency")
			}
		}
	}
	return Hop{Daemon: latencyOf(through), Direct: latencyOf(direct)}, nil
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{
		P50: time.Duration(h.ValueAtQuantile(percentileOften)),
		P99: time.Duration(h.ValueAtQuantile(percentileTail)),
	}
}

func (t Target) request(req *fasthttp.Request, address, body string) {
	req.SetRequestURI("http://" + address + "/v1/chat/completions")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+t.Key)
	req.Header.Set("X-Engine-Model", t.Model)
	req.Header.Set("X-Engine-Version", t.Version)
	req.SetBodyString(body)
}

func timeRequest(client *fasthttp.Client, address string, target Target) (time.Duration, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	target.request(req, address, fmt.Sprintf(`{"model":"%s@%s","max_tokens":1}`, target.Model, target.Version))
	began := time.Now()
	if err := client.Do(req, resp); err != nil {
		return 0, errors.Wrap(err, "request")
	}
	took := time.Since(began)
	if resp.StatusCode() != fasthttp.StatusOK {
		return 0, errors.Errorf("status %d: %s", resp.StatusCode(), resp.Body())
	}
	return took, nil
}

// StreamRate is how fast a daemon passes events on.
type StreamRate struct {
	PerSecond float64
	// PerSecondPerCore is the events for each second of the daemon's processor time.
	PerSecondPerCore float64
}

// MeasureStream reads one stream of a number of events through the daemon.
func MeasureStream(target Target, events int) (StreamRate, error) {
	client := &fasthttp.Client{StreamResponseBody: true, ReadTimeout: requestTimeout}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	target.request(req, target.Daemon, fmt.Sprintf(`{"model":"%s@%s","max_tokens":%d,"stream":true}`, target.Model, target.Version, events))
	before, err := ProcessorTime(target.Process)
	if err != nil {
		return StreamRate{}, err
	}
	began := time.Now()
	if err := client.Do(req, resp); err != nil {
		return StreamRate{}, errors.Wrap(err, "request")
	}
	body, err := io.ReadAll(resp.BodyStream())
	if err != nil {
		return StreamRate{}, errors.Wrap(err, "read stream")
	}
	took := time.Since(began)
	after, err := ProcessorTime(target.Process)
	if err != nil {
		return StreamRate{}, err
	}
	if got := bytes.Count(body, []byte("\nid: ")) + 1; got != events {
		return StreamRate{}, errors.Errorf("%d of %d events arrived", got, events)
	}
	return StreamRate{
		PerSecond:        float64(events) / took.Seconds(),
		PerSecondPerCore: float64(events) / (after - before).Seconds(),
	}, nil
}

// IdleCost is what a daemon costs without requests.
type IdleCost struct {
	// CPUShare is the part of one core.
	CPUShare float64
	// Memory is the resident memory in bytes.
	Memory int64
}

// MeasureIdle watches a daemon for a time.
func MeasureIdle(target Target, watch time.Duration) (IdleCost, error) {
	before, err := ProcessorTime(target.Process)
	if err != nil {
		return IdleCost{}, err
	}
	time.Sleep(watch)
	after, err := ProcessorTime(target.Process)
	if err != nil {
		return IdleCost{}, err
	}
	memory, err := ResidentMemory(target.Process)
	return IdleCost{CPUShare: (after - before).Seconds() / watch.Seconds(), Memory: memory}, err
}

// ProcessorTime returns the processor time that a process has used.
func ProcessorTime(process int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	const userField, systemField = 11, 12
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	if len(fields) <= systemField {
		return 0, errors.New("stat of the process is too short")
	}
	var ticks int64
	for _, field := range fields[userField : systemField+1] {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, errors.Wrap(err, "read processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks, nil
}

// ResidentMemory returns the resident memory of a process in bytes.
func ResidentMemory(process int) (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	fields := strings.Fields(string(text))
	const residentField = 1
	if len(fields) <= residentField {
		return 0, errors.New("statm of the process is too short")
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return pages * int64(os.Getpagesize()), errors.Wrap(err, "read memory")
}
