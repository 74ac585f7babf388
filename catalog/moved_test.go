package catalog

import (
	"testing"

	"github.com/matryer/is"
)

func TestMovedRoutes(t *testing.T) {
	route := func(prefix string, resumable bool, services ...WeightedService) Route {
		return Route{Host: "x", PathPrefix: prefix, Resumable: resumable, Services: services}
	}
	one, two := WeightedService{"one", 1}, WeightedService{"two", 1}
	for name, tc := range map[string]struct {
		before, after []Route
		moved         []string // prefixes of the routes before
		services      []string
	}{
		"unchanged":                          {[]Route{route("/a/", true, one)}, []Route{route("/a/", true, one)}, nil, nil},
		"to another service":                 {[]Route{route("/a/", true, one)}, []Route{route("/a/", true, two)}, []string{"/a/"}, []string{"one", "two"}},
		"other weights":                      {[]Route{route("/a/", true, one, two)}, []Route{route("/a/", true, one, WeightedService{"two", 2})}, []string{"/a/"}, []string{"one", "two"}},
		"not resumable":                      {[]Route{route("/a/", false, one)}, []Route{route("/a/", false, two)}, nil, nil},
		"removed":                            {[]Route{route("/a/", true, one)}, nil, []string{"/a/"}, []string{"one"}},
		"removed, a shorter one leads on":    {[]Route{route("/a/b/", true, one), route("/a/", false, two)}, []Route{route("/a/", false, two)}, []string{"/a/b/"}, []string{"one", "two"}},
		"added":                              {nil, []Route{route("/a/", true, one)}, nil, nil},
		"added below one that leads there":   {[]Route{route("/a/", true, one)}, []Route{route("/a/", true, one), route("/a/b/", true, one)}, nil, nil},
		"added below one":                    {[]Route{route("/a/", true, one)}, []Route{route("/a/", true, one), route("/a/b/", true, two)}, []string{"/a/"}, []string{"one", "two"}},
		"added below one, no longer resumed": {[]Route{route("/a/", true, one)}, []Route{route("/a/", true, one), route("/a/b/", false, two)}, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before, after := (&Snapshot{Routes: tc.before}).BuildIndexes(), (&Snapshot{Routes: tc.after}).BuildIndexes()
			routes, services := before.MovedRoutes(after)
			var prefixes []string
			for _, r := range routes {
				prefixes = append(prefixes, r.PathPrefix)
			}
			is.Equal(prefixes, tc.moved)
			is.Equal(len(services), len(tc.services))
			for i := range services {
				is.Equal(services[i], tc.services[i])
			}
		})
	}
}
