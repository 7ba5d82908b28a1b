/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { createRoute } from "../lib/createRoute.mjs";
import { runCase } from "../lib/runCase.mjs";
import { sendTraffic } from "../lib/sendTraffic.mjs";
import { startSmallDeployment } from "../lib/startSmallDeployment.mjs";

const HOST = "stock.example";
const SERVICES = ["catalog", "catalog", "catalog"];
const BODY = "stock and price ".repeat(100);
const WORK_MS = 20;
const ROUTE_TIMEOUT_MS = 6_000;
const TRAFFIC = { perSecond: 200, durationMs: 5_500 };
/** One of three endpoints spoils one in fifty of its answers: a letter stands in place of a digit of the length. */
const SPOILED_EVERY = 50;
const SPOILED_LENGTH = `${BODY.length}`.replace(/\d(\d)$/, "x$1");

await runCase(import.meta.url, async (context) => {
    const { recorder, hasTrouble } = context;
    let answersOfFaulty = 0;
    const faulty = new Set();
    const handle = (request, endpoint) => {
        answersOfFaulty += faulty.has(endpoint) ? 1 : 0;
        const isSpoiled = hasTrouble && faulty.has(endpoint) && answersOfFaulty % SPOILED_EVERY === 0;
        setTimeout(() => request.answer(200, BODY, isSpoiled ? { "Content-Length": SPOILED_LENGTH } : {}), WORK_MS);
    };
    const routes = [createRoute("r-stock", HOST, "safe", "catalog", ROUTE_TIMEOUT_MS)];
    const { deployment, endpoints } = await startSmallDeployment(context, SERVICES, routes, handle);
    faulty.add(endpoints[0]);
    const answers = await sendTraffic(recorder, {
        ...TRAFFIC,
        create: (n) => ({
            address: deployment.proxyAddresses(n % SERVICES.length).outbound,
            host: HOST,
            path: `/stock/${n}`,
            deadlineMs: ROUTE_TIMEOUT_MS,
        }),
    });
    const successes = answers.filter(({ status, end }) => status === 200 && end === "complete");
    const wrong = successes.filter(({ body }) => body.toString() !== BODY);
    recorder.record("result", { answers: answers.length, successes: successes.length, wrong: wrong.map(({ attempt }) => attempt) });
    if (successes.length < answers.length / 2) {
        throw new Error(`only ${successes.length} of ${answers.length} requests were served`);
    }
    const [first] = wrong;
    return first === undefined
        ? undefined
        : `MIXED: ${wrong.length} of ${successes.length} successes with a signature have another body than the endpoint's ${BODY.length} bytes, `
            + `the first one ${first.body.length} bytes (attempt ${first.attempt}, signature ${first.headers["response-signature"]})`;
});
