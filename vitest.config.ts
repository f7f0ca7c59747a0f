import { defineConfig } from "vitest/config";

export default defineConfig({
    test: {
        include: ["packages/*/tests/**/*.test.ts", "platform/tests/**/*.test.ts"],
        pool: "threads",
        maxWorkers: 4,
        testTimeout: 60_000,
    },
});
