import { createHash } from "node:crypto";
import { PassThrough, Readable } from "node:stream";
import test from "ava";
import { BodyVerifier } from "../BodyVerifier/index.js";
import { relayBody } from "./index.js";

const BODY = [Buffer.from("drawing "), Buffer.from("of a "), Buffer.from("curb")];
const CONTENT = Buffer.concat(BODY);
const DIGEST = `sha-256=:${createHash("sha256").update(CONTENT).digest("base64")}:`;

interface Case {
    readonly title: string;
    readonly headers: Record<string, string>;
    readonly isComplete: boolean;
    readonly received: string;
}

const cases: readonly Case[] = [
    { title: "a body with the right length and digest is complete", headers: { "content-length": "17", "content-digest": DIGEST }, isComplete: true, received: "drawing of a curb" },
    { title: "a body without length or digest is complete at its end", headers: {}, isComplete: true, received: "drawing of a curb" },
    { title: "the last chunk of a short body is withheld", headers: { "content-length": "18" }, isComplete: false, received: "drawing of a " },
    { title: "the last chunk of an overlong body is withheld", headers: { "content-length": "16" }, isComplete: false, received: "drawing of a " },
    { title: "the last chunk of a body with another digest is withheld", headers: { "content-digest": "sha-256=:AAAA:" }, isComplete: false, received: "drawing of a " },
];

for (const { title, headers, isComplete, received } of cases) {
    test(title, async (t) => {
        const sink = new PassThrough();
        const result = await relayBody(Readable.from(BODY), sink, BodyVerifier.create(headers));
        sink.end();
        t.is(result, isComplete);
        t.is(String(Buffer.concat(await sink.toArray() as Buffer[])), received);
    });
}

test("a body whose source fails is an error, and bytes that were not written are not counted", async (t) => {
    const verifier = BodyVerifier.create({});
    const source = Readable.from((function* chunks() {
        yield BODY[0];
        yield BODY[1];
        throw new Error("reset");
    })());
    await t.throwsAsync(relayBody(source, new PassThrough(), verifier), { message: "reset" });
    t.is(verifier.verifiedBytes, 8);
});
