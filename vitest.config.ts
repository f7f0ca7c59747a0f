import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["packages/*/tests/**/*.test.ts", "platform/tests/**/*.test.ts"],
        setupFiles: ["vitest.setup.mjs"],
        pool: "threads",
        maxWorkers: 4,
        testTimeout: 60_000,
    },
});
