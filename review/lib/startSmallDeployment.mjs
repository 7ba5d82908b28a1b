/* eslint-disable @typescript-eslint/explicit-function-return-type */
import { setTimeout as delay } from "node:timers/promises";
import { createLimits } from "./createLimits.mjs";
import { createService } from "./createService.mjs";
import { Deployment } from "./Deployment.mjs";
import { Endpoint } from "./Endpoint.mjs";

/** Control machines of the site. */
const CONTROL_COUNT = 5;
/** Time after which machines that have just started are in touch, in ms: `contact`, with a margin. */
const IN_TOUCH_MS = 4_000;

/**
 * Starts five control processes, and a proxy with an endpoint for each given service, and waits until all are in touch.
 *
 * @param context - Context of the case.
 * @param services - Service of each machine.
 * @param routes - Routes of the configuration.
 * @param handle - Answers the requests that the endpoints run.
 */
export async function startSmallDeployment({ recorder, closers }, services, routes, handle) {
    const deployment = await Deployment.create(recorder, CONTROL_COUNT, services.length);
    closers.push(() => deployment.close());
    deployment.startControls();
    services.forEach((service, proxy) => deployment.startProxy(proxy, service, true));
    const endpoints = [];
    for (const [proxy, service] of services.entries()) {
        const endpoint = await Endpoint.create(recorder, deployment.proxyAddresses(proxy), service, handle);
        closers.push(() => endpoint.close());
        endpoints.push(endpoint);
    }
    await deployment.applyConfiguration([...routes, ...[...new Set(services)].map((name) => createService(name)), createLimits()]);
    await deployment.waitUntilReady([...services.keys()]);
    await Promise.all(endpoints.map((endpoint) => endpoint.startCheckIns()));
    await delay(IN_TOUCH_MS);
    return { deployment, endpoints };
}
