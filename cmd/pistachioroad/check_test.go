package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"pistachioroad.dev/pistachioroad/internal/configcheck"
)

var _ = Describe("check-config", func() {
	const document = `{"version":2,"routes":[{"name":"a","hostname":"h","pathPrefix":"/","routeType":"safe","timeoutMs":9,"latencyGoalMs":5,"serviceName":"s"}],
		"services":[{"name":"s"}],"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"headerTimeoutMs":1,"idleTimeoutMs":1}}`
	warned := strings.Replace(document, `"maxBodyBytes":1`, `"maxBodyBytes":0`, 1)
	broken := strings.Replace(document, `"safe"`, `"keyed"`, 1)

	file := func(text string) string {
		path := filepath.Join(GinkgoT().TempDir(), "config.json")
		Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
		return path
	}
	check := func(args ...string) (exitStatus, string) {
		var output bytes.Buffer
		status := run(context.Background(), append([]string{"check-config"}, args...), &output, &output)
		return status, output.String()
	}

	// Guards against scripts that send a document with errors, or one that was not checked.
	DescribeTable("tells the outcome by its exit status, without an entry",
		func(want exitStatus, contains string, args ...string) {
			for i, arg := range args {
				if strings.HasPrefix(arg, "{") {
					args[i] = file(arg)
				}
			}
			status, output := check(args...)
			Expect(status).To(Equal(want), output)
			Expect(output).To(ContainSubstring(contains))
		},
		Entry("clean", exitOK, "0 errors, 0 warnings, 0 differences", document),
		Entry("warning", exitOK, "warning: limits.maxBodyBytes: is missing or 0", warned),
		Entry("warning with -strict", exitFindings, "1 warnings", "-strict", warned),
		Entry("error", exitFindings, `error: routes[0].routeType: is "keyed"`, broken),
		Entry("no JSON", exitFindings, "error: line 1, column 2: is not JSON", "{]"),
		Entry("difference", exitOK, "1 differences", "-in-force", strings.Replace(document, `"version":2`, `"version":1`, 1), document),
		Entry("lower version", exitOK, "warning: version: is 2, expected more than 3", document, "-in-force", strings.Replace(document, `"version":2`, `"version":3`, 1)),
		Entry("missing file", exitFailed, "no such file", "/nonexistent/config.json"),
		Entry("missing file in force", exitFailed, "no such file", document, "-in-force", "/nonexistent/config.json"),
		Entry("no JSON in force", exitFailed, "cannot be compared: line 1, column 2", document, "-in-force", "{]"),
		Entry("no file", exitUsage, "expected one FILE"),
		Entry("flag of another command", exitUsage, "not defined", "-reason", "x", document),
	)

	It("prints JSON for programs", func() {
		status, output := check("-json", "-in-force", file(strings.Replace(document, `"version":2`, `"version":1`, 1)), file(broken))
		Expect(status).To(Equal(exitFindings))
		var result checkResult
		Expect(json.Unmarshal([]byte(output), &result)).To(Succeed())
		Expect(result.Errors).To(Equal(1))
		Expect(result.Findings[0].Place).To(Equal("routes[0].routeType"))
		Expect(result.Differences).To(ContainElement(configcheck.Difference{
			Change: configcheck.Changed, Section: "routes", Name: "a", Field: "routeType", Old: "safe", New: "keyed",
		}))
		_, output = check("-json", file(document))
		Expect(output).To(MatchJSON(`{"errors":0,"warnings":0,"findings":[],"differences":[]}`))
	})
})
