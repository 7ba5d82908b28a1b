import { createHash } from "node:crypto";
import { PassThrough, Readable } from "node:stream";
import test from "ava";
import { AnswerVerifier } from "../AnswerVerifier/index.js";
import { relayBody } from "./index.js";

const BODY = [Buffer.from("drawing "), Buffer.from("of a "), Buffer.from("curb")];
const WHOLE = Buffer.concat(BODY);
const DIGEST = `sha-256=:${createHash("sha256").update(WHOLE).digest("base64")}:`;

interface Case {
    readonly title: string;
    readonly headers: Record<string, string>;
    readonly isWhole: boolean;
    readonly received: string;
}

const cases: readonly Case[] = [
    { title: "a body with the right length and digest is whole", headers: { "content-length": "17", "content-digest": DIGEST }, isWhole: true, received: "drawing of a curb" },
    { title: "a body without length or digest is taken as it ends", headers: {}, isWhole: true, received: "drawing of a curb" },
    { title: "the last piece of a short body is withheld", headers: { "content-length": "18" }, isWhole: false, received: "drawing of a " },
    { title: "the last piece of an overlong body is withheld", headers: { "content-length": "16" }, isWhole: false, received: "drawing of a " },
    { title: "the last piece of a body with another digest is withheld", headers: { "content-digest": "sha-256=:AAAA:" }, isWhole: false, received: "drawing of a " },
];

for (const { title, headers, isWhole, received } of cases) {
    test(title, async (t) => {
        const sink = new PassThrough();
        const result = await relayBody(Readable.from(BODY), sink, AnswerVerifier.create(headers));
        sink.end();
        t.is(result, isWhole);
        t.is(String(Buffer.concat(await sink.toArray() as Buffer[])), received);
    });
}

test("a body that breaks off is an error, and what was not written is not counted", async (t) => {
    const verifier = AnswerVerifier.create({});
    const source = Readable.from((function* pieces() {
        yield BODY[0];
        yield BODY[1];
        throw new Error("reset");
    })());
    await t.throwsAsync(relayBody(source, new PassThrough(), verifier), { message: "reset" });
    t.is(verifier.bytes, 8);
});
