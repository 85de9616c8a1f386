import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';

import { suite } from 'uvu';
import * as assert from 'uvu/assert';

import { Component, makeLoggers } from './mod.ts';

const test = suite('logs');

const lineCount = 600;
const maxReaderBytes = 8_192;

/** Waits until a file has at least the given number of lines, and returns its contents. */
async function readLines(file: string, count: number): Promise<string> {
  for (;;) {
    const text = fs.readFileSync(file, 'utf8');
    if (text.split('\n').length > count) return text;
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
}

test('a write longer than a reader accepts would lose lines of a burst', async () => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'logs-'));
  const file = path.join(folder, 'out.log');
  const fd = fs.openSync(file, 'w');
  const writeSizes: number[] = [];
  const originalWrite = fs.write;
  fs.write = new Proxy(originalWrite, {
    apply(write, self, args: [number, string]) {
      if (args[0] === fd) writeSizes.push(Buffer.byteLength(args[1]));
      return Reflect.apply(write, self, args);
    },
  });
  try {
    const log = makeLoggers({ process: 'edge-1', fd, maxBufferBytes: 1_000_000 })(Component.Cell);
    for (let i = 0; i < lineCount; i++) log.info('text', { event: 'ended', number: i });
    const text = await readLines(file, lineCount);
    assert.is(text.trimEnd().split('\n').length, lineCount);
    assert.ok(writeSizes.length > 1);
    assert.ok(
      Math.max(...writeSizes) <= maxReaderBytes,
      `one write has ${Math.max(...writeSizes)} bytes`,
    );
  } finally {
    fs.write = originalWrite;
    fs.rmSync(folder, { recursive: true });
  }
});

test.run();
