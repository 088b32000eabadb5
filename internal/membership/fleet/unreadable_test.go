package fleet_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestUnreadableEntryIsReportedOnce(t *testing.T) {
	t.Run("however often it is read", func(t *testing.T) {
		c, f, r := newFold(t)
		for i := range 100 {
			f.Apply(entry("x", "garbage"), start.Add(time.Duration(i)*time.Second))
			f.Replace(append(entry("x", "garbage"), entry("a", "ready:1")...), start.Add(time.Duration(i)*time.Second))
		}
		c.Assert(r.unreadable, qt.Equals, 1)
	})
	t.Run("again after it was readable", func(t *testing.T) {
		c, f, r := newFold(t)
		for _, value := range []string{"garbage", "ready:1", "garbage"} {
			f.Apply(entry("x", value), start)
		}
		c.Assert(r.unreadable, qt.Equals, 2)
	})
	t.Run("again after it was removed", func(t *testing.T) {
		c, f, r := newFold(t)
		for _, value := range []string{"garbage", "", "garbage"} {
			f.Apply(entry("x", value), start)
		}
		f.Replace(entry("a", "ready:1"), start)
		f.Apply(entry("x", "garbage"), start)
		c.Assert(r.unreadable, qt.Equals, 3)
	})
	t.Run("many of them", func(t *testing.T) {
		c, f, r := newFold(t)
		for i := range 10_000 {
			f.Apply(entry(fmt.Sprint("x", i), "garbage"), start)
		}
		c.Assert(r.unreadable <= 256, qt.IsTrue, qt.Commentf("%d reports", r.unreadable))
	})
}

func TestOtherEntriesHoldBesideUnreadableOnes(t *testing.T) {
	c, f, _ := newFold(t)
	f.Replace(append(entry("", "garbage"), append(entry("a", "ready:1"), entry("\xff", "garbage")...)...), start)
	f.Apply(append(entry("x", "garbage"), entry("b", "ready:2")...), start)
	c.Assert(f.View().Service("llm"), qt.HasLen, 2)
	f.Apply(append(entry("x", "garbage"), entry("a", "leaving:2")...), start)
	a, _ := f.View().Server("a")
	c.Assert(a.ShuttingDown, qt.IsTrue)
}
