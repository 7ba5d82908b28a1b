import { Manifest } from "../Manifest.js";

/**
 * Finds what is wrong with a manifest beyond the shape of its fields: names used twice and names that do not exist.
 *
 * @param manifest - Manifest that has passed the schema.
 * @returns One line for each problem, each starting with the field path; empty if there is none.
 * @example
 * findManifestProblems(manifest); // ["routes.0.service: found \"x\": no such service"]
 */
export function findManifestProblems(manifest: Manifest): readonly string[] {
    const services = new Set(manifest.services.map((service) => service.name));
    const unknown = manifest.routes.flatMap((route, index) => services.has(route.service)
        ? []
        : [`routes.${index}.service: found "${route.service}": no such service; allowed: ${[...services].join(", ")}`]);
    return [
        ...findRepeats("services", "name", manifest.services.map((service) => service.name)),
        ...findRepeats("routes", "pathPrefix", manifest.routes.map((route) => `${route.host}${route.pathPrefix}`)),
        ...findRepeats("customers", "name", manifest.customers.map((customer) => customer.name)),
        ...findRepeats("fleet.failureDomains", "name", manifest.fleet.failureDomains),
        ...unknown,
    ];
}

function findRepeats(list: string, field: string, keys: readonly string[]): readonly string[] {
    const seen = new Set<string>();
    const problems: string[] = [];
    keys.forEach((key, index) => {
        if (seen.has(key)) {
            problems.push(`${list}.${index}.${field}: found "${key}": used twice`);
        }
        seen.add(key);
    });
    return problems;
}
