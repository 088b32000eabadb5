package settings_test

import (
	"testing"
	"time"

	"azurehitch/internal/daemon/settings"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

func valid() settings.Settings {
	s := settings.Default()
	s.Name = "daemon-1"
	s.LogService, s.HostList, s.WeightStore = "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"
	return s
}

func TestCheck(t *testing.T) {
	c := qt.New(t)
	c.Assert(valid().Check(), qt.IsNil)
	for _, test := range []struct {
		flag   string
		change func(*settings.Settings)
	}{
		{"name", func(s *settings.Settings) { s.Name = "" }},
		{"listen", func(s *settings.Settings) { s.Listen = "localhost:80" }},
		{"log-service", func(s *settings.Settings) { s.LogService = "" }},
		{"host-list", func(s *settings.Settings) { s.HostList = "127.0.0.1" }},
		{"control-stream", func(s *settings.Settings) { s.ControlStream = s.CallStream }},
		{"admin-key-sha256", func(s *settings.Settings) { s.AdminKeySHA256 = "secret" }},
		{"default-timeout", func(s *settings.Settings) { s.DefaultTimeout = 2 * s.MaxTimeout }},
		{"read-timeout", func(s *settings.Settings) { s.ReadTimeout = -time.Second }},
		{"max-body-bytes", func(s *settings.Settings) { s.MaxBodyBytes = 0 }},
		{"trace-exporter", func(s *settings.Settings) { s.TraceExporter = "paper" }},
		{"trace-sample-ratio", func(s *settings.Settings) { s.TraceSampleRatio = 1.5 }},
		{"log-level", func(s *settings.Settings) { s.LogLevel = "loud" }},
		{"log-layers", func(s *settings.Settings) { s.LogLayers = "lease,cellar" }},
	} {
		c.Run(test.flag, func(c *qt.C) {
			s := valid()
			test.change(&s)
			err := s.Check()
			var refused *settings.ErrSetting
			c.Assert(errors.As(err, &refused), qt.IsTrue)
			c.Assert(refused.Flag, qt.Equals, test.flag)
			c.Assert(refused.Allowed, qt.Not(qt.Equals), "")
		})
	}
}
