// Bundles the program of the platform into one file, so that a start reads one file and none of zod's translations.
import { build } from "esbuild";

const englishOnly = {
    name: "english-only",
    setup(builder) {
        builder.onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.(c?js)$/ }, () => ({ contents: "export { default as en } from './en.js';" }));
    },
};

/** What libraries load without the platform's program having a use for it: each start would read and compile it. */
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
