import { Manifest } from "../Manifest.js";

/**
 * Finds problems of a manifest that the schema does not detect: duplicate names and references to unknown services.
 *
 * @param manifest - Manifest that conforms to the schema.
 * @returns One line per problem, starting with the field path; empty if there are none.
 * @example
 * findManifestProblems(manifest); // ["routes.0.service: found \"x\": no such service"]
 */
export function findManifestProblems(manifest: Manifest): readonly string[] {
    const services = new Set(manifest.services.map((service) => service.name));
    const unknown = manifest.routes.flatMap((route, index) => services.has(route.service)
        ? []
        : [`routes.${index}.service: found "${route.service}": no such service; allowed: ${[...services].join(", ")}`]);
    return [
        ...findDuplicates("services", "name", manifest.services.map((service) => service.name)),
        ...findDuplicates("routes", "pathPrefix", manifest.routes.map((route) => `${route.host}${route.pathPrefix}`)),
        ...findDuplicates("customers", "name", manifest.customers.map((customer) => customer.name)),
        ...findDuplicates("fleet.failureDomains", "name", manifest.fleet.failureDomains),
        ...unknown,
    ];
}

function findDuplicates(list: string, field: string, keys: readonly string[]): readonly string[] {
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
