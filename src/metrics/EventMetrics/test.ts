import test from "ava";
import { EventNumber } from "../../logs/EventNumber.js";
import { EventMetrics } from "./index.js";

test("requests are counted by service and outcome, with their latency", async (t) => {
    const metrics = EventMetrics.create();
    metrics.observe(EventNumber.RequestAnswered, { service: "a", status: 200, tookMs: 120 });
    metrics.observe(EventNumber.RequestAnswered, { service: "a", status: 500, tookMs: 1 });
    metrics.observe(EventNumber.RequestFailed, { service: "a", failure: "timed-out", tookMs: 3_000 });
    const text = await metrics.render();
    t.true(text.includes("gypsumpulley_requests_total{service=\"a\",outcome=\"answered\"} 1"));
    t.true(text.includes("gypsumpulley_requests_total{service=\"a\",outcome=\"failed-by-endpoint\"} 1"));
    t.true(text.includes("gypsumpulley_requests_total{service=\"a\",outcome=\"timed-out\"} 1"));
    t.true(text.includes("gypsumpulley_request_seconds_bucket{le=\"0.1\",service=\"a\",outcome=\"answered\"} 0"));
    t.true(text.includes("gypsumpulley_request_seconds_bucket{le=\"0.15\",service=\"a\",outcome=\"answered\"} 1"));
});

test("refusals are counted by cause and all events by name", async (t) => {
    const metrics = EventMetrics.create();
    metrics.observe(EventNumber.RequestRefused, { cause: "busy" });
    metrics.observe(EventNumber.PathLost, { peer: "vm-1" });
    const text = await metrics.render();
    t.true(text.includes("gypsumpulley_refusals_total{cause=\"busy\"} 1"));
    t.true(text.includes("gypsumpulley_events_total{event=\"PathLost\"} 1"));
});

test("request times are counted by organisation, whatever became of the request, and only with one", async (t) => {
    const metrics = EventMetrics.create();
    metrics.observe(EventNumber.RequestAnswered, { service: "a", organisation: "o", status: 200, tookMs: 120 });
    metrics.observe(EventNumber.RequestAnswered, { service: "a", organisation: "o", status: 500, tookMs: 120 });
    metrics.observe(EventNumber.RequestFailed, { service: "a", organisation: "o", failure: "timed-out", tookMs: 3_000 });
    metrics.observe(EventNumber.RequestRefused, { organisation: "o", cause: "busy", tookMs: 40 });
    metrics.observe(EventNumber.RequestAnswered, { service: "a", status: 200, tookMs: 120 });
    const counts = (await metrics.render()).split("\n").filter((line) => line.startsWith("gypsumpulley_organisation_request_seconds_count"));
    t.deepEqual(counts.sort(), [
        "gypsumpulley_organisation_request_seconds_count{organisation=\"o\",outcome=\"answered\"} 1",
        "gypsumpulley_organisation_request_seconds_count{organisation=\"o\",outcome=\"failed\"} 2",
        "gypsumpulley_organisation_request_seconds_count{organisation=\"o\",outcome=\"refused\"} 1",
    ]);
});

test("the number of series is bounded for any number of organisations", async (t) => {
    const metrics = EventMetrics.create();
    for (let organisation = 0; organisation < 1_000; organisation += 1) {
        metrics.observe(EventNumber.RequestRefused, { organisation: `o-${organisation}`, cause: "busy", tookMs: 1 });
    }
    const lines = (await metrics.render()).split("\n").filter((line) => line.startsWith("gypsumpulley_organisation_request_seconds_count"));
    t.is(lines.length, 65);
    t.true(lines.includes("gypsumpulley_organisation_request_seconds_count{organisation=\"other\",outcome=\"refused\"} 936"));
});

test("displaced requests are counted by cause", async (t) => {
    const metrics = EventMetrics.create();
    metrics.observe(EventNumber.RequestDisplaced, { cause: "overtaken", organisation: "o", waitedMs: 5 });
    t.true((await metrics.render()).includes("gypsumpulley_displaced_total{cause=\"overtaken\"} 1"));
});

test("a gauge is read when the metrics are rendered", async (t) => {
    const metrics = EventMetrics.create();
    let links = 1;
    metrics.addGauge({ name: "links", help: "Open links", read: () => links });
    links = 3;
    t.true((await metrics.render()).includes("gypsumpulley_links 3"));
});

test("the number of series is bounded for any number of services", async (t) => {
    const metrics = EventMetrics.create();
    for (let service = 0; service < 1_000; service += 1) {
        metrics.observe(EventNumber.RequestAnswered, { service: `s-${service}`, status: 200, tookMs: 1 });
    }
    const lines = (await metrics.render()).split("\n").filter((line) => line.startsWith("gypsumpulley_requests_total"));
    t.is(lines.length, 65);
    t.true(lines.some((line) => line === "gypsumpulley_requests_total{service=\"other\",outcome=\"answered\"} 936"));
});

// Load: 86 organisations, and more above their quota. Guards against a series for each of any number of names.
test("refusals above a quota are counted by organisation, with a bounded number of series", async (t) => {
    const metrics = EventMetrics.create();
    for (let organisation = 0; organisation < 1_000; organisation += 1) {
        metrics.observe(EventNumber.RequestRefused, { cause: "quota", tookMs: 1, organisation: `o-${organisation}` });
    }
    metrics.observe(EventNumber.RequestRefused, { cause: "busy" });
    const lines = (await metrics.render()).split("\n").filter((line) => line.startsWith("gypsumpulley_quota_refusals_total"));
    t.is(lines.length, 65);
    t.true(lines.includes("gypsumpulley_quota_refusals_total{organisation=\"other\"} 936"));
});
