// Bundles the platform program into a single file without zod's translations, so that a process start reads little.
import { build } from "esbuild";

const englishOnly = {
    name: "english-only",
    setup(builder) {
        builder.onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.(c?js)$/ }, () => ({ contents: "export { default as en } from './en.js';" }));
    },
};

/** Replaces modules that libraries load but the platform program never uses; each start would read and compile them. */
const unused = {
    name: "unused",
    setup(builder) {
        builder.onLoad({ filter: /node_modules[\\/]@opentelemetry[\\/]api[\\/]/ }, () => ({ contents: "module.exports = {};" }));
        builder.onLoad({ filter: /node_modules[\\/]consola[\\/]/ }, () => ({ contents: "export const createConsola = undefined, LogLevels = {};" }));
    },
};

const result = await build({
    entryPoints: ["platform/main.ts"],
    outfile: "target/gypsumpulley.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    minifySyntax: true,
    minifyWhitespace: true,
    plugins: [englishOnly, unused],
    logLevel: "warning",
    metafile: true,
});
if (process.argv.includes("--sizes")) {
    const inputs = Object.values(result.metafile.outputs)[0].inputs;
    const sizes = new Map();
    for (const [path, { bytesInOutput }] of Object.entries(inputs)) {
        const name = /node_modules\/([^/]+)/.exec(path)?.[1] ?? "own code";
        sizes.set(name, (sizes.get(name) ?? 0) + bytesInOutput);
    }
    console.log([...sizes].sort((left, right) => right[1] - left[1]));
}
